package manifest

import "slices"

// route leads from a method and path to a call of its service.
type route struct {
	method  string
	pattern pattern
	call    int
}

// routesOf returns the routes of a plain service, the more specific first.
func routesOf(calls []wireCall) []route {
	routes := make([]route, 0, len(calls))

	for i := range calls {
		p, ok := parsePattern(calls[i].Path)
		if ok {
			routes = append(routes, route{method: calls[i].Method, pattern: p, call: i})
		}
	}

	slices.SortStableFunc(routes, func(a, b route) int {
		return a.pattern.compareSpecific(b.pattern)
	})

	return routes
}
