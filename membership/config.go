package membership

import (
	"cmp"
	"time"
)

const (
	// MaxPayload is the maximum size of a member's payload in bytes.
	MaxPayload = 256
	// MaxName is the maximum size of an instance ID, region, failure domain or
	// address in bytes.
	MaxName = 128
	// MaxMessage is the maximum size of the updates of a sync message in bytes.
	MaxMessage = 8 << 10
	// MaxPiggyback is the maximum size of the updates of any other message in
	// bytes.
	MaxPiggyback = 1200
	// TickInterval is the time between calls of Core.Tick.
	TickInterval = 100 * time.Millisecond

	maxHealthPenalty = 4
	maxRelayedProbes = 64
	bucketCount      = 64
	digestSize       = 4
	leaveFanout      = 4
	gossipFanout     = 2
	// pauseThreshold is the time without a Tick after which the node assumes that
	// its own process was paused, so that missing messages are no evidence against
	// other members.
	pauseThreshold = 10 * TickInterval
)

// Config holds the timing of a Core; zero fields take their default.
type Config struct {
	// ProbeInterval is the time between probes; default 1 s.
	ProbeInterval time.Duration `json:"probeInterval"`
	// AckTimeout is the time to wait for an ack before indirect probes are
	// requested; default 300 ms.
	AckTimeout time.Duration `json:"ackTimeout"`
	// IndirectProbes is the number of members that probe a silent member
	// indirectly; default 3.
	IndirectProbes int `json:"indirectProbes"`
	// SuspicionFactor, multiplied by the probe interval and the decimal logarithm
	// of the region's size (at least 1), is the time in which a suspect can refute;
	// default 4.
	SuspicionFactor int `json:"suspicionFactor"`
	// GossipInterval is the time between gossip rounds; default 250 ms.
	GossipInterval time.Duration `json:"gossipInterval"`
	// GossipRate is the maximum rate of updates in gossip and probes, in bytes per
	// second; default 3000.
	GossipRate int `json:"gossipRate"`
	// RetransmitFactor, multiplied by the natural logarithm of the region's size,
	// is the number of times that a node sends an update; default 1.5.
	RetransmitFactor float64 `json:"retransmitFactor"`
	// SyncInterval is the time between anti-entropy rounds; default 30 s.
	SyncInterval time.Duration `json:"syncInterval"`
	// SyncRate is the maximum rate of updates in anti-entropy rounds, in bytes per
	// second, with a burst of sixteen seconds of the rate; default 2000.
	SyncRate int `json:"syncRate"`
	// SeedInterval is the time between sync requests to seeds that are no live
	// members; dead members are contacted three times as often; default 30 s.
	SeedInterval time.Duration `json:"seedInterval"`
	// Retention is the time after which a dead or left member is evicted;
	// default 2 h.
	Retention time.Duration `json:"retention"`
	// PayloadRate is the rate at which all members together originate routine
	// payload updates, in bytes per second, divided equally among the live members;
	// default 250.
	PayloadRate float64 `json:"payloadRate"`
	// BridgeInterval is the time between a bridge's probes of bridges of other
	// regions; default 1 s.
	BridgeInterval time.Duration `json:"bridgeInterval"`
	// RegionInterval is the same for members that are not bridges; default 20 s.
	RegionInterval time.Duration `json:"regionInterval"`
	// RegionTimeout is the time without a round trip after which a region is
	// unreachable; default 75 s. For a bridge it is ten times BridgeInterval.
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
