package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
	"monsoonlever/keys"
)

const (
	trialFileMode = 0o600
	trialDirMode  = 0o700
	loopbackAny   = "127.0.0.1:0"
)

// trialCommand writes the settings of a deployment on free loopback ports.
type trialCommand struct {
	Directory  string   `arg:"" type:"path" help:"Where to write settings and keys."`
	Platform   string   `required:"" placeholder:"URL" help:"Base URL of the platform's stand-in."`
	Deployment string   `default:"trial" help:"Name of the deployment."`
	Region     string   `default:"dk-east" help:"Region of the instances."`
	Domain     []string `required:"" placeholder:"NAME" help:"Failure domains that the instances are spread over."`
	Entries    int      `default:"3" help:"Number of entry instances."`
}

// TrialInstance tells where one instance of a trial will listen.
type TrialInstance struct {
	Settings  string `json:"settings"`
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// trialSettings is the part of the settings that a trial sets.
type trialSettings struct {
	Deployment    string           `json:"deployment"`
	Instance      fleet.InstanceID `json:"instance"`
	Region        string           `json:"region"`
	FailureDomain string           `json:"failureDomain"`
	Listen        trialListen      `json:"listen"`
	PeerAddress   string           `json:"peerAddress"`
	Seeds         []string         `json:"seeds"`
	TLS           trialTLS         `json:"tls"`
	Platform      trialPlatform    `json:"platform"`
}

type trialListen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

type trialTLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"`
}

type trialPlatform struct {
	Log     string `json:"log"`
	List    string `json:"list"`
	Cloud   string `json:"cloud"`
	Weights string `json:"weights"`
}

// Run writes the files and prints where the instances will listen.
func (v *trialCommand) Run(ctx context.Context, c *console) error {
	if err := os.MkdirAll(v.Directory, trialDirMode); err != nil {
		return merry.Prepend(err, "make directory of the trial")
	}

	instances, err := v.place(ctx)
	if err != nil {
		return err
	}

	var names []string
	for i := range instances {
		names = append(names, v.id(i))
	}

	if err := keys.WriteDeployment(v.Directory, names, time.Now()); err != nil {
		return err
	}

	t := &table{header: []string{"SETTINGS", "CALLERS", "PEERS", "OPERATORS"}}

	for i, instance := range instances {
		if err := v.write(i, instances); err != nil {
			return err
		}

		t.add(instance.Settings, instance.Callers, instance.Peers, instance.Operators)
	}

	return c.print(instances, t)
}

func (v *trialCommand) id(i int) string {
	return fmt.Sprintf("entry-%d", i+1)
}

// place finds free ports. All are held until the last is found, so that no two
// are the same.
func (v *trialCommand) place(ctx context.Context) ([]TrialInstance, error) {
	var instances []TrialInstance

	for i := range v.Entries {
		addresses := make([]string, 0, 3)

		for range cap(addresses) {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopbackAny)
			if err != nil {
				return nil, merry.Prepend(err, "find a free port")
			}
			defer l.Close() //nolint:errcheck // only its number is of use

			addresses = append(addresses, l.Addr().String())
		}

		instances = append(instances, TrialInstance{
			Settings:  filepath.Join(v.Directory, v.id(i)+".jsonc"),
			Callers:   addresses[0],
			Peers:     addresses[1],
			Operators: addresses[2],
		})
	}

	return instances, nil
}

func (v *trialCommand) write(i int, instances []TrialInstance) error {
	seeds := []string{}

	for j, other := range instances {
		if j != i {
			seeds = append(seeds, other.Peers)
		}
	}

	own := instances[i]
	base := filepath.Join(v.Directory, v.id(i))
	data, err := json.MarshalIndent(trialSettings{
		Deployment:    v.Deployment,
		Instance:      fleet.InstanceID(v.id(i)),
		Region:        v.Region,
		FailureDomain: v.Domain[i%len(v.Domain)],
		Listen:        trialListen{Callers: own.Callers, Peers: own.Peers, Operators: own.Operators},
		PeerAddress:   own.Peers,
		Seeds:         seeds,
		TLS:           trialTLS{CertFile: base + ".pem", KeyFile: base + ".key", CAFile: filepath.Join(v.Directory, "ca.pem")},
		Platform:      trialPlatform{Log: v.Platform, List: v.Platform, Cloud: v.Platform, Weights: v.Platform},
	}, "", "  ")
	if err != nil {
		return merry.Prepend(err, "encode settings")
	}

	return merry.Prepend(os.WriteFile(own.Settings, data, trialFileMode), "write settings")
}
