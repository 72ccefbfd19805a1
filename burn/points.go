package burn

// mergePoints adds the points of one series: the finest window that covers
// what was counted, so that a short run shows more than one point.
func mergePoints(points []Point, s *Series) []Point {
	w := Window{Points: points}

	for _, p := range finest(s).Points {
		w.add(p)
	}

	return w.Points
}

// finest returns the shortest window that holds all requests of the longest.
func finest(s *Series) Window {
	if len(s.Windows) == 0 {
		return Window{}
	}

	longest := s.Windows[len(s.Windows)-1]

	for _, w := range s.Windows {
		if w.Requests == longest.Requests {
			return w
		}
	}

	return longest
}
