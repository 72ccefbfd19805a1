package cmd

import (
	"time"

	"monsoonlever/keys"
)

// keysCommand makes keys.
type keysCommand struct {
	Directory string   `arg:"" type:"path" help:"Where to write ca.pem and a pair of files for each instance."`
	Instance  []string `required:"" placeholder:"ID" help:"Instance ID that a key is made for; may be given more than once."`
}

// Run writes the keys.
func (k *keysCommand) Run() error {
	return keys.WriteDeployment(k.Directory, k.Instance, time.Now())
}
