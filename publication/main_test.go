package publication

import (
	"os"
	"testing"

	"monsoonlever/property"
)

func TestMain(m *testing.M) {
	os.Exit(property.Main(m, 300, property.Flag{Name: "rapid.steps", Value: "60"}))
}
