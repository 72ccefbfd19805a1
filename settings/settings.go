// Package settings reads what one instance must know before it can join: who it
// is, where it listens and where the platform is.
//
// Everything else comes from the manifest. Settings are JSON with comments; all
// findings are reported together, each with its line.
//
// # Usage
//
//	s, err := settings.Load("monsoonleverd.jsonc")
//	if err != nil {
//		return err
//	}
package settings

import (
	"os"

	"github.com/ansel1/merry/v2"

	"monsoonlever/document"
	"monsoonlever/finding"
)

// Load reads the settings file of the daemon. Where the content has findings the
// error is a *finding.Error with all of them.
func Load(path string) (Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, merry.Prepend(err, "read settings")
	}

	return Parse(path, data)
}

// Parse reads the settings of the daemon from the content of a file.
func Parse(file string, data []byte) (Daemon, error) {
	return parse(file, data, defaultDaemon())
}

// LoadEntry reads the settings file of an entry instance on the users' platform.
// Where the content has findings the error is a *finding.Error with all of them.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, merry.Prepend(err, "read settings")
	}

	return ParseEntry(path, data)
}

// ParseEntry reads the settings of an entry instance from the content of a file.
func ParseEntry(file string, data []byte) (Entry, error) {
	return parse(file, data, defaultEntry())
}

// checkable is a struct of settings with the checks beside it.
type checkable interface {
	check(c *checker)
}

func parse[T checkable](file string, data []byte, s T) (T, error) {
	var (
		l    finding.List
		zero T
	)

	d := document.Decode(file, data, &s, &l)

	// Without a readable document every missing field would be a finding too.
	if !d.Has("") {
		return zero, l.Err()
	}

	s.check(&checker{document: d, findings: &l})

	if err := l.Err(); err != nil {
		return zero, err
	}

	return s, nil
}
