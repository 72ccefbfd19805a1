package membership

import (
	"cmp"
	"time"
)

const (
	// MaxPayload bounds a member's payload in bytes.
	MaxPayload = 256
	// MaxName bounds an instance ID, region, failure domain or address in bytes.
	MaxName = 128
	// MaxMessage bounds the updates of a sync message in bytes.
	MaxMessage = 8 << 10
	// MaxPiggyback bounds the updates of every other message in bytes.
	MaxPiggyback = 1200
	// TickInterval is how often the shell calls Tick.
	TickInterval = 100 * time.Millisecond

	maxHealthPenalty    = 4
	maxRelayedProbes    = 64
	bucketCount  = 64
	digestSize   = 4
	leaveFanout  = 4
	gossipFanout = 2
	// pauseThreshold is a time without a Tick after which the node itself was
	// paused, so that it cannot blame others for what it did not hear.
	pauseThreshold = 10 * TickInterval
)

// Config holds the timing of a Core; zero fields take their default.
type Config struct {
	// ProbeInterval is the time between probes; default 1 s.
	ProbeInterval time.Duration `json:"probeInterval"`
	// AckTimeout is the wait before indirect probes; default 300 ms.
	AckTimeout time.Duration `json:"ackTimeout"`
	// IndirectProbes is how many members probe a silent one; default 3.
	IndirectProbes int `json:"indirectProbes"`
	// SuspicionFactor times the probe interval and the logarithm of the
	// region's size is how long a suspect may refute; default 4.
	SuspicionFactor int `json:"suspicionFactor"`
	// GossipInterval is the time between gossip rounds; default 250 ms.
	GossipInterval time.Duration `json:"gossipInterval"`
	// GossipRate bounds the bytes of updates sent in a second; default 3000.
	GossipRate int `json:"gossipRate"`
	// RetransmitFactor times the natural logarithm of the region's size is how
	// often an update is sent on; default 1.5.
	RetransmitFactor float64 `json:"retransmitFactor"`
	// SyncInterval is the time between anti-entropy rounds; default 30 s.
	SyncInterval time.Duration `json:"syncInterval"`
	// SyncRate bounds the bytes of members sent in anti-entropy rounds in a
	// second; a burst of sixteen seconds' worth may be saved up; default 2000.
	SyncRate int `json:"syncRate"`
	// SeedInterval is the time between contacts to a seed that is no member;
	// dead members are contacted three times as often; default 30 s.
	SeedInterval time.Duration `json:"seedInterval"`
	// Retention is how long a dead or left member is remembered; default 2 h.
	Retention time.Duration `json:"retention"`
	// PayloadRate is how many bytes of updates with payloads the fleet as a
	// whole may originate in a second; a member's share shrinks as the fleet
	// grows; default 250.
	PayloadRate float64 `json:"payloadRate"`
	// BridgeInterval is the time between probes of a bridge to each other
	// region; default 1 s.
	BridgeInterval time.Duration `json:"bridgeInterval"`
	// RegionInterval is the same for members that are no bridge; default 20 s.
	RegionInterval time.Duration `json:"regionInterval"`
	// RegionTimeout is the time without a round trip after which a region is
	// unreachable; default 75 s. A bridge takes ten of its intervals.
	RegionTimeout time.Duration `json:"regionTimeout"`
}

// withDefaults returns the configuration with every field set.
func (c Config) withDefaults() Config {
	return Config{
		ProbeInterval:    cmp.Or(c.ProbeInterval, time.Second),
		AckTimeout:       cmp.Or(c.AckTimeout, 300*time.Millisecond),
		IndirectProbes:   cmp.Or(c.IndirectProbes, 3),
		SuspicionFactor:  cmp.Or(c.SuspicionFactor, 4),
		GossipInterval:   cmp.Or(c.GossipInterval, 250*time.Millisecond),
		GossipRate:       cmp.Or(c.GossipRate, 3000),
		RetransmitFactor: cmp.Or(c.RetransmitFactor, 1.5),
		SyncInterval:     cmp.Or(c.SyncInterval, 30*time.Second),
		SyncRate:         cmp.Or(c.SyncRate, 2000),
		SeedInterval:     cmp.Or(c.SeedInterval, 30*time.Second),
		Retention:        cmp.Or(c.Retention, 2*time.Hour),
		PayloadRate:      cmp.Or(c.PayloadRate, 250),
		BridgeInterval:   cmp.Or(c.BridgeInterval, time.Second),
		RegionInterval:   cmp.Or(c.RegionInterval, 20*time.Second),
		RegionTimeout:    cmp.Or(c.RegionTimeout, 75*time.Second),
	}
}
