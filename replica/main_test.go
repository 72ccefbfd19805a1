package replica

import (
	"os"
	"testing"

	"monsoonlever/property"
)

func TestMain(m *testing.M) {
	os.Exit(property.Main(m, 1000))
}
