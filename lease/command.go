package lease

// Command asks the shell to append one record. The shell reports nothing back:
// the record is seen, or not, when the log is read.
type Command struct {
	Record Record
}
