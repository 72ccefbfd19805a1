// Package settings reads the settings that an instance needs before it can join its
// deployment: its identity, its listen addresses and the addresses of the platform.
//
// Services and their limits come from the manifest or, on the users' platform, from its rules.
// Settings are JSON with comments. All findings are reported together, each with its line.
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

// Load reads the settings file of the daemon. If the content has findings, the error is a
// *finding.Error with all of them.
func Load(path string) (Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, merry.Prepend(err, "read settings")
	}

	return Parse(path, data)
}

// Parse reads the settings of the daemon from the content of a file. Its errors are of type
// *finding.Error.
func Parse(file string, data []byte) (Daemon, error) {
	return parse(file, data, defaultDaemon())
}

// LoadEntry reads the settings file of an entry instance on the users' platform.
// If the content has findings, the error is a *finding.Error with all of them.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, merry.Prepend(err, "read settings")
	}

	return ParseEntry(path, data)
}

// ParseEntry reads the settings of an entry instance from the content of a file. Its errors
// are of type *finding.Error.
func ParseEntry(file string, data []byte) (Entry, error) {
	return parse(file, data, defaultEntry())
}

// checkable is a settings struct that validates itself.
type checkable interface {
	check(c *checker)
}

func parse[T checkable](file string, data []byte, s T) (T, error) {
	var (
		l    finding.List
		zero T
	)

	d := document.Decode(file, data, &s, &l)

	// If the document is unreadable, the checks would report every required field as missing.
	if !d.Has("") {
		return zero, l.Err()
	}

	s.check(&checker{document: d, findings: &l})

	if err := l.Err(); err != nil {
		return zero, err
	}

	return s, nil
}
