package document

// NameRule describes the names that IsName accepts, for use in findings.
const NameRule = "1 to 63 letters, digits, dots, dashes or underscores that start with a letter or digit"

const maxNameLength = 63

// IsName reports whether s satisfies NameRule, which makes it safe to use in
// metrics, paths and logs.
func IsName(s string) bool {
	if s == "" || len(s) > maxNameLength || !isAlphanumeric(s[0]) {
		return false
	}

	for i := range len(s) {
		b := s[i]
		if !isAlphanumeric(b) && b != '-' && b != '_' && b != '.' {
			return false
		}
	}

	return true
}

func isAlphanumeric(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}
