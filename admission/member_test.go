package admission

import (
	"testing"
	"time"
)

func TestMembersAddedBeforeConfigureAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Controller{Instance: "a", Sharing: Sharing{PropagationDelay: time.Second, MemberTimeout: 10 * time.Second, EvenFraction: 0.1}}

	c.AddMember(now, "b")
	c.ApplyDemand(now, "c", Demand{At: now.UnixMilli(), Floor: 0.1})

	if err := c.Configure(now, Config{Accounts: []AccountConfig{{Account: "x", RequestsPerSecond: 30}}}); err != nil {
		t.Fatal(err)
	}

	for range 40 {
		now = now.Add(100 * time.Millisecond)
		at := now.UnixMilli()
		c.ApplyDemand(now, "b", Demand{At: at, Floor: 0.1})
		c.ApplyDemand(now, "c", Demand{At: at, Floor: 0.1})
		c.PublishDemand(now)
	}

	if got := c.Share("x"); got <= 0 || got > 0.5 {
		t.Errorf("share among three members: got %v, want more than 0 and at most 0.5", got)
	}
}
