package cmd

import (
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"

	"monsoonlever/manifest"
)

// validateCommand checks a manifest.
type validateCommand struct {
	File string `arg:"" type:"existingfile" help:"Manifest, JSON with comments."`
}

// Validation is the JSON form of a check that found nothing.
type Validation struct {
	File     string `json:"file"`
	Name     string `json:"name"`
	Services int    `json:"services"`
	Accounts int    `json:"accounts"`
}

// Run checks the file.
func (v *validateCommand) Run(c *console) error {
	data, err := os.ReadFile(v.File)
	if err != nil {
		return merry.Prepend(err, "read manifest")
	}

	m, err := manifest.Parse(v.File, data)
	if err != nil {
		return err
	}

	result := Validation{File: v.File, Name: m.Name(), Services: len(m.Services()), Accounts: len(m.Accounts())}
	t := &table{}
	t.add(fmt.Sprintf("%s: no finding (%d services, %d client accounts)", v.File, result.Services, result.Accounts))

	return c.print(result, t)
}
