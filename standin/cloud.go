package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/platform"
)

// Cloud is a fake of the cloud API. Set the exported fields before its use.
type Cloud struct {
	Clock  clock.Clock
	Faults *Faults
	// Start starts what runs on a purchased instance and returns its address;
	// nil starts nothing.
	Start func(platform.Instance) (string, error)
	// OnNotice is told of instances when their notice goes out.
	OnNotice func([]platform.Instance)
	// OnEnd is told of instances that were reclaimed or released; they are dead.
	OnEnd func([]platform.Instance)

	timers conc.WaitGroup

	mu        sync.Mutex
	offers    []stock
	instances []platform.Instance
	byToken   map[string]platform.Instance
	notices   []platform.Notice
	bought    int
}

var _ platform.Cloud = (*Cloud)(nil)

// stock is an offer and how many instances are left of it.
type stock struct {
	offer platform.Offer
	left  int
}

// NewCloud returns a cloud API without offers.
func NewCloud(c clock.Clock) *Cloud {
	return &Cloud{Clock: c, Faults: NewFaults(c), byToken: make(map[string]platform.Instance)}
}

// SetOffer sets a price and how many instances are to be had at it.
func (c *Cloud) SetOffer(offer platform.Offer, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if s := c.find(offer.Class, offer.Domain, offer.Market); s != nil {
		*s = stock{offer: offer, left: left}

		return
	}

	c.offers = append(c.offers, stock{offer: offer, left: left})
}

func (c *Cloud) find(class platform.Class, domain fleet.FailureDomain, market platform.Market) *stock {
	for i := range c.offers {
		offer := c.offers[i].offer
		if offer.Class == class && offer.Domain == domain && offer.Market == market {
			return &c.offers[i]
		}
	}

	return nil
}

// Offers returns the present prices, also of what is sold out.
func (c *Cloud) Offers(ctx context.Context) ([]platform.Offer, error) {
	if err := c.Faults.Enter(ctx); err != nil {
		return nil, err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	offers := make([]platform.Offer, 0, len(c.offers))
	for _, s := range c.offers {
		offers = append(offers, s.offer)
	}

	return offers, nil
}

// Buy makes an instance, or returns the one that its token made before.
func (c *Cloud) Buy(ctx context.Context, p platform.Purchase) (platform.Instance, error) {
	if err := c.Faults.Enter(ctx); err != nil {
		return platform.Instance{}, err
	}

	instance, made, err := c.take(p)
	if err != nil {
		return platform.Instance{}, err
	}

	if made && c.Start != nil {
		instance, err = c.start(instance)
		if err != nil {
			return platform.Instance{}, err
		}
	}

	if c.Faults.LosesAnswer() {
		return platform.Instance{}, merry.Prepend(ErrNoAnswer, "buy instance")
	}

	return instance, nil
}

// take returns the instance of a token and whether it was made just now.
func (c *Cloud) take(p platform.Purchase) (platform.Instance, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if instance, ok := c.byToken[p.Token]; ok {
		return instance, false, nil
	}

	s := c.find(p.Class, p.Domain, p.Market)
	if s == nil || s.left <= 0 {
		return platform.Instance{}, false, merry.Prepend(platform.ErrNoCapacity, "buy instance")
	}

	s.left--
	c.bought++

	instance := platform.Instance{
		ID:     fleet.InstanceID(fmt.Sprintf("bought-%d", c.bought)),
		Token:  p.Token,
		Class:  p.Class,
		Domain: p.Domain,
		Market: p.Market,
		Since:  c.Clock.Now(),
	}
	c.byToken[p.Token] = instance
	c.instances = append(c.instances, instance)

	return instance, true, nil
}

func (c *Cloud) start(instance platform.Instance) (platform.Instance, error) {
	address, err := c.Start(instance)
	if err != nil {
		return platform.Instance{}, merry.Prepend(err, "start instance")
	}

	instance.Address = address
	c.Adopt(instance)

	return instance, nil
}

// Adopt adds an instance that was not bought here, or replaces the one with its id.
func (c *Cloud) Adopt(instance platform.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if instance.Token != "" {
		c.byToken[instance.Token] = instance
	}

	at := slices.IndexFunc(c.instances, func(o platform.Instance) bool { return o.ID == instance.ID })
	if at < 0 {
		c.instances = append(c.instances, instance)

		return
	}

	c.instances[at] = instance
}

// Release ends an instance; one that is gone already stays so.
func (c *Cloud) Release(ctx context.Context, id fleet.InstanceID) error {
	if err := c.Faults.Enter(ctx); err != nil {
		return err
	}

	c.end([]fleet.InstanceID{id})

	if c.Faults.LosesAnswer() {
		return merry.Prepend(ErrNoAnswer, "release instance")
	}

	return nil
}

// Instances returns the instances that are paid for.
func (c *Cloud) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := c.Faults.Enter(ctx); err != nil {
		return nil, err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	return slices.Clone(c.instances), nil
}

// Notices returns the reclaim notices after a sequence number.
func (c *Cloud) Notices(ctx context.Context, after uint64) ([]platform.Notice, error) {
	if err := c.Faults.Enter(ctx); err != nil {
		return nil, err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	at := slices.IndexFunc(c.notices, func(n platform.Notice) bool { return n.Sequence > after })
	if at < 0 {
		return nil, nil
	}

	return slices.Clone(c.notices[at:]), nil
}

// Reclaim gives notice to every reclaimable instance of a failure domain and
// ends them once the time of the notice has passed. It does not wait for that.
func (c *Cloud) Reclaim(domain fleet.FailureDomain, notice time.Duration) {
	reclaimed, ids := c.giveNotice(domain, notice)
	if len(ids) == 0 {
		return
	}

	if c.OnNotice != nil {
		c.OnNotice(reclaimed)
	}

	passed := c.Clock.After(notice)

	c.timers.Go(func() {
		<-passed
		c.end(ids)
	})
}

func (c *Cloud) giveNotice(
	domain fleet.FailureDomain, notice time.Duration,
) ([]platform.Instance, []fleet.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()

	var (
		reclaimed []platform.Instance
		ids       []fleet.InstanceID
	)

	at := c.Clock.Now().Add(notice)

	for _, instance := range c.instances {
		if instance.Domain != domain || instance.Market != platform.Reclaimable {
			continue
		}

		reclaimed = append(reclaimed, instance)
		ids = append(ids, instance.ID)
		c.notices = append(c.notices, platform.Notice{
			Sequence: uint64(len(c.notices) + 1),
			Instance: instance.ID,
			At:       at,
		})
	}

	return reclaimed, ids
}

func (c *Cloud) end(ids []fleet.InstanceID) {
	ended := c.remove(ids)

	if len(ended) > 0 && c.OnEnd != nil {
		c.OnEnd(ended)
	}
}

func (c *Cloud) remove(ids []fleet.InstanceID) []platform.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()

	var kept, ended []platform.Instance

	for _, instance := range c.instances {
		if slices.Contains(ids, instance.ID) {
			ended = append(ended, instance)
		} else {
			kept = append(kept, instance)
		}
	}

	c.instances = kept

	return ended
}

// Wait returns when no reclaim is under way.
func (c *Cloud) Wait() {
	c.timers.Wait()
}
