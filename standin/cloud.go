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
	"monsoonlever/provider"
)

// Cloud is a fake of the cloud API. Set the exported fields before its use.
type Cloud struct {
	Clock  clock.Clock
	Faults *Faults
	// Start starts what runs on a purchased instance and returns its address;
	// nil starts nothing.
	Start func(provider.Instance) (string, error)
	// OnNotice is told of instances when their notice goes out.
	OnNotice func([]provider.Instance)
	// OnEnd is told of instances that were reclaimed or released; they are dead.
	OnEnd func([]provider.Instance)

	timers conc.WaitGroup

	mu        sync.Mutex
	offers    []stock
	instances []provider.Instance
	byToken   map[string]provider.Instance
	notices   []provider.ReclaimNotice
	bought    int
}

var _ provider.Cloud = (*Cloud)(nil)

// stock is an offer and how many instances are left of it.
type stock struct {
	offer provider.Offer
	left  int
}

// NewCloud returns a cloud API without offers.
func NewCloud(c clock.Clock) *Cloud {
	return &Cloud{Clock: c, Faults: NewFaults(c), byToken: make(map[string]provider.Instance)}
}

// SetOffer sets a price and how many instances are to be had at it.
func (c *Cloud) SetOffer(offer provider.Offer, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if s := c.find(offer.Class, offer.Domain, offer.Market); s != nil {
		*s = stock{offer: offer, left: left}

		return
	}

	c.offers = append(c.offers, stock{offer: offer, left: left})
}

func (c *Cloud) find(class provider.Class, domain fleet.FailureDomain, market provider.Market) *stock {
	for i := range c.offers {
		offer := c.offers[i].offer
		if offer.Class == class && offer.Domain == domain && offer.Market == market {
			return &c.offers[i]
		}
	}

	return nil
}

// Offers returns the present prices, also of what is sold out.
func (c *Cloud) Offers(ctx context.Context) ([]provider.Offer, error) {
	if err := c.Faults.Enter(ctx); err != nil {
		return nil, err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	offers := make([]provider.Offer, 0, len(c.offers))
	for _, s := range c.offers {
		offers = append(offers, s.offer)
	}

	return offers, nil
}

// Buy makes an instance, or returns the one that its token made before.
func (c *Cloud) Buy(ctx context.Context, p provider.Purchase) (provider.Instance, error) {
	if err := c.Faults.Enter(ctx); err != nil {
		return provider.Instance{}, err
	}

	instance, made, err := c.take(p)
	if err != nil {
		return provider.Instance{}, err
	}

	if made && c.Start != nil {
		instance, err = c.start(instance)
		if err != nil {
			return provider.Instance{}, err
		}
	}

	if c.Faults.LosesAnswer() {
		return provider.Instance{}, merry.Prepend(ErrNoAnswer, "buy instance")
	}

	return instance, nil
}

// take returns the instance of a token and whether it was made just now.
func (c *Cloud) take(p provider.Purchase) (provider.Instance, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if instance, ok := c.byToken[p.Token]; ok {
		return instance, false, nil
	}

	s := c.find(p.Class, p.Domain, p.Market)
	if s == nil || s.left <= 0 {
		return provider.Instance{}, false, merry.Prepend(provider.ErrNoCapacity, "buy instance")
	}

	s.left--
	c.bought++

	instance := provider.Instance{
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

func (c *Cloud) start(instance provider.Instance) (provider.Instance, error) {
	address, err := c.Start(instance)
	if err != nil {
		return provider.Instance{}, merry.Prepend(err, "start instance")
	}

	instance.Address = address
	c.Adopt(instance)

	return instance, nil
}

// Adopt adds an instance that was not bought here, or replaces the one with its id.
func (c *Cloud) Adopt(instance provider.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if instance.Token != "" {
		c.byToken[instance.Token] = instance
	}

	at := slices.IndexFunc(c.instances, func(o provider.Instance) bool { return o.ID == instance.ID })
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
func (c *Cloud) Instances(ctx context.Context) ([]provider.Instance, error) {
	if err := c.Faults.Enter(ctx); err != nil {
		return nil, err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	return slices.Clone(c.instances), nil
}

// Notices returns the reclaim notices after a sequence number.
func (c *Cloud) Notices(ctx context.Context, after uint64) ([]provider.ReclaimNotice, error) {
	if err := c.Faults.Enter(ctx); err != nil {
		return nil, err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	at := slices.IndexFunc(c.notices, func(n provider.ReclaimNotice) bool { return n.Sequence > after })
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
) ([]provider.Instance, []fleet.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()

	var (
		reclaimed []provider.Instance
		ids       []fleet.InstanceID
	)

	at := c.Clock.Now().Add(notice)

	for _, instance := range c.instances {
		if instance.Domain != domain || instance.Market != provider.Reclaimable {
			continue
		}

		reclaimed = append(reclaimed, instance)
		ids = append(ids, instance.ID)
		c.notices = append(c.notices, provider.ReclaimNotice{
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

func (c *Cloud) remove(ids []fleet.InstanceID) []provider.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()

	var kept, ended []provider.Instance

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
