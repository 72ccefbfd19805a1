package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/iter"

	"monsoonlever/daemon"
)

// statusTimeout bounds the question to one instance.
const statusTimeout = 2 * time.Second

var errStatus = errors.New("instance did not answer as expected")

// instanceFlags name the entry instances by their operators' addresses.
type instanceFlags struct {
	Instance []string `placeholder:"HOST:PORT" env:"MONSOONLEVER_INSTANCES" help:"Operators' address of an entry instance; may be given more than once."`
}

// InstanceResult is what one instance said of itself, or why it did not.
type InstanceResult struct {
	Instance string         `json:"instance"`
	Status   *daemon.Status `json:"status,omitempty"`
	Error    string         `json:"error,omitempty"`
}

// statuses asks every instance at once.
func (f instanceFlags) statuses(ctx context.Context) []InstanceResult {
	return iter.Map(f.Instance, func(address *string) InstanceResult {
		status, err := fetch[daemon.Status](ctx, *address, daemon.PathStatus)
		if err != nil {
			return InstanceResult{Instance: *address, Error: err.Error()}
		}

		return InstanceResult{Instance: *address, Status: &status}
	})
}

// fetch gets a JSON answer from an instance.
func fetch[T any](parent context.Context, address, path string) (T, error) {
	var value T

	ctx, cancel := context.WithTimeout(parent, statusTimeout)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return value, merry.Prepend(err, "ask instance "+address)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return value, merry.Prepend(err, "ask instance "+address)
	}
	defer response.Body.Close() //nolint:errcheck // nothing is left to be read

	if response.StatusCode != http.StatusOK {
		return value, merry.Prepend(errStatus, fmt.Sprintf("status %d of %s", response.StatusCode, address))
	}

	if err := json.NewDecoder(response.Body).Decode(&value); err != nil {
		return value, merry.Prepend(err, "read answer of "+address)
	}

	return value, nil
}
