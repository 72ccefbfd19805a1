package publication

import (
	"errors"
	"testing"

	"monsoonlever/finding"
	"monsoonlever/provider"
)

func encoded(t *testing.T, r Record) []byte {
	t.Helper()

	data, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}

	return data
}

func TestApplyDecidesByTheVersionInForce(t *testing.T) {
	first := Published{ID: "a", Manifest: manifestNumbered(1)}

	tests := []struct {
		desc        string
		record      Record
		want        Outcome
		wantVersion provider.Offset
	}{
		{desc: "derived from the version in force", record: Published{ID: "b", DerivedFrom: 1, Manifest: manifestNumbered(2)}, want: Applied, wantVersion: 2},
		{desc: "derived from an older version", record: Published{ID: "b", Manifest: manifestNumbered(2)}, want: Stale, wantVersion: 1},
		{desc: "derived from a version to come", record: Published{ID: "b", DerivedFrom: 2, Manifest: manifestNumbered(2)}, want: Stale, wantVersion: 1},
		{desc: "the same record again", record: first, want: Stale, wantVersion: 1},
		{desc: "a manifest with findings", record: Published{ID: "b", DerivedFrom: 1, Manifest: []byte("{}")}, want: Invalid, wantVersion: 1},
		{desc: "a fence", record: Fence{ID: "b", DerivedFrom: 1}, want: Fenced, wantVersion: 2},
		{desc: "an old fence", record: Fence{ID: "b"}, want: Stale, wantVersion: 1},
		{desc: "a true checkpoint", record: Checkpoint{Version: 1, Through: 1, ID: "a", Manifest: first.Manifest}, want: Confirmed, wantVersion: 1},
		{desc: "a true checkpoint of earlier", record: Checkpoint{}, want: Confirmed, wantVersion: 1},
		{desc: "a checkpoint with another manifest", record: Checkpoint{Version: 1, Through: 1, ID: "a", Manifest: manifestNumbered(3)}, want: Disagreeing, wantVersion: 1},
		{desc: "a checkpoint that knows of no version", record: Checkpoint{Through: 1}, want: Disagreeing, wantVersion: 1},
		{desc: "a checkpoint of the future", record: Checkpoint{Version: 9, Through: 9, ID: "z", Manifest: manifestNumbered(3)}, want: Disagreeing, wantVersion: 1},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := NewState()
			s.Apply(provider.Record{Offset: 1, Data: encoded(t, first)})

			got := s.Apply(provider.Record{Offset: 2, Data: encoded(t, tt.record)})
			if got.Outcome() != tt.want || got.Version() != tt.wantVersion {
				t.Errorf("outcome: got %v with version %d, want %v with %d", got.Outcome(), got.Version(), tt.want, tt.wantVersion)
			}
		})
	}
}

func TestApplyReportsTheFindingsOfAnInvalidManifest(t *testing.T) {
	s := NewState()

	r := s.Apply(provider.Record{Offset: 1, Data: encoded(t, Published{ID: "a", Manifest: []byte("{}")})})

	var list *finding.Error
	if !errors.As(r.Err(), &list) || len(list.Items()) == 0 {
		t.Errorf("error: got %v, want findings", r.Err())
	}
}

func TestAdoptTakesOnlyWhatIsNewer(t *testing.T) {
	source := manifestNumbered(1)

	tests := []struct {
		desc        string
		skipTo      provider.Offset
		checkpoint  Checkpoint
		want        Outcome
		wantVersion provider.Offset
		wantNext    provider.Offset
	}{
		{
			desc:       "a new instance takes what there is",
			checkpoint: Checkpoint{Version: 5, Through: 8, ID: "a", Manifest: source},
			want:       Restored, wantVersion: 5, wantNext: 9,
		},
		{
			desc:       "one that has missed records takes a version from before them",
			skipTo:     20,
			checkpoint: Checkpoint{Version: 5, Through: 8, ID: "a", Manifest: source},
			want:       Restored, wantVersion: 5, wantNext: 9,
		},
		{
			desc:       "a version after its own statement is no statement",
			checkpoint: Checkpoint{Version: 9, Through: 8, ID: "a", Manifest: source},
			want:       Disagreeing, wantNext: 1,
		},
		{
			desc:       "a manifest with findings is left",
			checkpoint: Checkpoint{Version: 5, Through: 8, ID: "a", Manifest: []byte("{}")},
			want:       Invalid, wantNext: 1,
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := NewState()
			if tt.skipTo > 0 {
				s.SkipTo(tt.skipTo)
			}

			got := s.Adopt(tt.checkpoint)
			if got.Outcome() != tt.want || s.Version() != tt.wantVersion || s.Next() != tt.wantNext {
				t.Errorf("adopted: got %v, version %d, next %d, want %v, %d, %d",
					got.Outcome(), s.Version(), s.Next(), tt.want, tt.wantVersion, tt.wantNext)
			}

			older := s.Adopt(Checkpoint{Version: 2, Through: 3, ID: "b", Manifest: source})
			if s.Version() < tt.wantVersion || tt.wantVersion > 0 && older.Outcome() == Restored {
				t.Errorf("after an older one: got %v and version %d, want %d kept", older.Outcome(), s.Version(), tt.wantVersion)
			}
		})
	}
}

func TestAdoptKeepsAGreaterVersionThatIsNoLongerCertain(t *testing.T) {
	s := NewState()
	s.Adopt(Checkpoint{Version: 5, Through: 8, ID: "a", Manifest: manifestNumbered(1)})
	s.SkipTo(20)

	got := s.Adopt(Checkpoint{Version: 2, Through: 3, ID: "b", Manifest: manifestNumbered(2)})
	if got.Outcome() != Useless || s.Version() != 5 || s.Known() {
		t.Errorf("adopted: got %v, version %d, known %v, want %v, 5, false", got.Outcome(), s.Version(), s.Known(), Useless)
	}
}

func TestACheckpointBeforeMissedRecordsIsUseless(t *testing.T) {
	s := NewState()
	s.SkipTo(20)

	early := s.Apply(provider.Record{Offset: 20, Data: encoded(t, Checkpoint{Version: 5, Through: 18, ID: "a", Manifest: manifestNumbered(1)})})
	if early.Outcome() != Useless || s.Known() {
		t.Errorf("a record was missed: got %v, known %v, want %v, false", early.Outcome(), s.Known(), Useless)
	}

	exact := s.Apply(provider.Record{Offset: 21, Data: encoded(t, Checkpoint{Version: 5, Through: 19, ID: "a", Manifest: manifestNumbered(1)})})
	if exact.Outcome() != Restored || !s.Known() || s.Next() != 20 {
		t.Errorf("none was missed: got %v, known %v, next %d, want %v, true, 20", exact.Outcome(), s.Known(), s.Next(), Restored)
	}
}
