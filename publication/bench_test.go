package publication

import (
	"os"
	"testing"

	"monsoonlever/provider"
)

func BenchmarkApplyPublished(b *testing.B) {
	source, err := os.ReadFile("../examples/kronvig.manifest.jsonc")
	if err != nil {
		b.Fatal(err)
	}

	s := NewState()
	b.SetBytes(int64(len(source)))
	b.ReportAllocs()

	for b.Loop() {
		data, err := Encode(Published{ID: "a", DerivedFrom: s.Version(), Manifest: source})
		if err != nil {
			b.Fatal(err)
		}

		if got := s.Apply(provider.Record{Offset: s.Next(), Data: data}).Outcome(); got != Applied {
			b.Fatalf("outcome: got %v, want %v", got, Applied)
		}
	}
}
