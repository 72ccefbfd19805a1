package document

import "strconv"

// Child returns the path of the named field of the object at path.
func Child(path, name string) string {
	if path == "" {
		return name
	}

	return path + "." + name
}

// Item returns the path of an element of the array at path.
func Item(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
