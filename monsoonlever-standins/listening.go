package main

import (
	"encoding/json"
	"net"
	"os"

	"github.com/ansel1/merry/v2"
)

const readyFileMode = 0o600

// listening holds the flags of whatever listens.
type listening struct {
	Listen    string `help:"Address to listen on." default:"127.0.0.1:0"`
	ReadyFile string `help:"File that gets the ready line as well."`
}

// readyLine is printed once the program listens.
type readyLine struct {
	Listen string `json:"listen"`
	Domain string `json:"domain,omitempty"`
}

func (l listening) open() (net.Listener, error) {
	listener, err := net.Listen("tcp", l.Listen) //nolint:noctx // nothing is to be resolved
	if err != nil {
		return nil, merry.Prepend(err, "listen")
	}

	return listener, nil
}

// ready tells that the program listens and is registered.
func (l listening) ready(address, domain string) error {
	line, err := json.Marshal(readyLine{Listen: address, Domain: domain})
	if err != nil {
		return merry.Prepend(err, "encode ready line")
	}

	line = append(line, '\n')

	if l.ReadyFile != "" {
		if err := writeWhole(l.ReadyFile, line); err != nil {
			return err
		}
	}

	if _, err := os.Stdout.Write(line); err != nil {
		return merry.Prepend(err, "print ready line")
	}

	return nil
}

// writeWhole makes a file appear with all of its content.
func writeWhole(path string, content []byte) error {
	partial := path + ".partial"
	if err := os.WriteFile(partial, content, readyFileMode); err != nil {
		return merry.Prepend(err, "write ready file")
	}

	if err := os.Rename(partial, path); err != nil {
		return merry.Prepend(err, "rename ready file")
	}

	return nil
}
