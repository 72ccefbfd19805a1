package lease

// Command asks the caller to append one record to the log. The caller does not report the
// result of the append: the core learns it from reading the log.
type Command struct {
	Record Record
}
