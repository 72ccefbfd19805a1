package admission

import (
	"math"
	"reflect"
	"testing"
	"time"
)

func TestDemandSizePerAccount(t *testing.T) {
	for _, accounts := range []int{0, 4, 16, MaxDemandAccounts} {
		d := Demand{At: start.UnixMilli(), Floor: 0.25}
		for i := range accounts {
			d.Accounts = append(d.Accounts, AccountDemand{Account: math.MaxUint64 - uint64(i), Weight: 0.5})
		}

		b, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}

		t.Logf("%d accounts: %d bytes", accounts, len(b))

		if got, want := len(b), 20+15*accounts; got > want {
			t.Errorf("%d accounts: got %d bytes, want at most %d", accounts, got, want)
		}
	}
}

func TestLargestDemandFitsMaxDemandBytes(t *testing.T) {
	want := Demand{At: math.MaxInt64, Floor: 0.25}
	for i := range MaxDemandAccounts {
		want.Accounts = append(want.Accounts, AccountDemand{Account: math.MaxUint64 - uint64(i), Weight: 1.1})
	}

	b, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}

	if got := len(b); got > MaxDemandBytes {
		t.Errorf("encoded: got %d bytes, want at most %d", got, MaxDemandBytes)
	}

	got, err := DecodeDemand(b)
	if err != nil {
		t.Fatal(err)
	}

	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded: got %+v, want %+v", got, want)
	}
}

// newPair returns two instances that are members of each other.
func newPair(t *testing.T) (first, second *Controller) {
	t.Helper()

	sharing := Sharing{PropagationDelay: time.Second, MemberTimeout: 5 * time.Second}
	config := testConfig(100, 10, AccountConfig{Account: testAccount, RequestsPerSecond: 100})
	first = &Controller{Instance: "entry-1", Sharing: sharing}
	second = &Controller{Instance: "entry-2", Sharing: sharing}

	for _, c := range []*Controller{first, second} {
		if err := c.Configure(start, config); err != nil {
			t.Fatal(err)
		}

		c.AddMember(start, "entry-1")
		c.AddMember(start, "entry-2")
	}

	return first, second
}

func TestShareFollowsDemand(t *testing.T) {
	first, second := newPair(t)
	now := start

	for range 40 {
		for range 20 {
			first.Admit(now, testRequest())
		}

		now = now.Add(250 * time.Millisecond)
		second.ApplyDemand(now, "entry-1", first.PublishDemand(now))
		first.ApplyDemand(now, "entry-2", second.PublishDemand(now))
	}

	first.Rebalance(now)

	if got, want := first.Share(testAccount), 0.9; got < want {
		t.Errorf("share of the instance with all demand: got %.3f, want at least %.1f", got, want)
	}

	if got, want := first.Share(testAccount)+second.Share(testAccount), 1.0; got > want+1e-9 {
		t.Errorf("shares together: got %.3f, want at most %.1f", got, want)
	}
}

func TestShareAfterMemberStops(t *testing.T) {
	tests := []struct {
		desc  string
		leave bool
		after time.Duration
		want  float64
	}{
		{desc: "immediately when the other member is removed", leave: true, after: time.Second, want: 1},
		{desc: "not while the silent member is half of the members", after: time.Minute, want: 0.5},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			first, second := newPair(t)
			now := start

			for range 20 {
				now = now.Add(250 * time.Millisecond)
				second.ApplyDemand(now, "entry-1", first.PublishDemand(now))
				first.ApplyDemand(now, "entry-2", second.PublishDemand(now))
			}

			if tt.leave {
				first.RemoveMember("entry-2")
			}

			now = now.Add(tt.after)
			first.PublishDemand(now)

			if got := first.Share(testAccount); got > tt.want {
				t.Errorf("share: got %.3f, want at most %.3f", got, tt.want)
			}

			if got := first.Share(testAccount); tt.leave && got != 1 {
				t.Errorf("share: got %.3f, want 1", got)
			}
		})
	}
}

func TestLostMembersShareIsReassignedAfterTimeout(t *testing.T) {
	first, second := newPair(t)
	now := start
	third := Demand{Floor: 0.03}

	step := func(withThird bool) {
		now = now.Add(250 * time.Millisecond)
		second.ApplyDemand(now, "entry-1", first.PublishDemand(now))
		first.ApplyDemand(now, "entry-2", second.PublishDemand(now))

		if withThird {
			third.At = now.UnixMilli()
			first.ApplyDemand(now, "entry-3", third)
			second.ApplyDemand(now, "entry-3", third)
		}
	}

	for range 40 {
		step(true)
	}

	if got, want := first.Share(testAccount)+second.Share(testAccount), 0.8; got > want {
		t.Fatalf("shares of two of three: got %.3f, want at most %.1f", got, want)
	}

	for range 22 {
		step(false)
	}

	if got, want := first.Share(testAccount)+second.Share(testAccount), 0.999; got < want {
		t.Errorf("shares after the member timeout: got %.3f, want at least %.3f", got, want)
	}
}
