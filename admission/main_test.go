package admission

import (
	"os"
	"testing"

	"monsoonlever/property"
)

func TestMain(m *testing.M) {
	os.Exit(property.Main(m, 100, property.Flag{Name: "rapid.shrinktime", Value: "5s"}))
}
