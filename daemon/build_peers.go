package daemon

import (
	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"monsoonlever/keys"
	"monsoonlever/membership"
	"monsoonlever/peer"
	"monsoonlever/provider"
)

// buildPeers makes what joins this instance with the others.
func (p *parts) buildPeers(l *Listeners) error {
	if p.settings.TLS == nil {
		klog.InfoS("no keys in the settings: this instance stands alone and its answers have no copies")

		return nil
	}

	files := keys.Files{CA: p.settings.TLS.CAFile, Certificate: p.settings.TLS.CertFile, Key: p.settings.TLS.KeyFile}

	config, err := files.InstanceTLS(string(p.settings.Instance), p.clock)
	if err != nil {
		return merry.Prepend(err, "load keys of this instance")
	}

	node := &peer.Node{
		ID: p.settings.Instance, Incarnation: p.incarnation, Domain: p.settings.FailureDomain,
		Deployment: p.settings.Deployment, Listener: l.Peers, Advertise: p.settings.PeerAddress,
		TLS: config, Clock: p.clock,
	}
	p.peers = &peers{
		clock: p.clock,
		node:  node,
		group: &membership.Group{
			Node: node, Clock: p.clock, Region: p.settings.Region, Seeds: p.settings.Seeds,
			List: p.watcher.List, Locate: p.locateEntry,
		},
		admission:  p.admission,
		replicator: p.replicator,
		follower:   p.follower,
		claims:     p.claims,
		table:      p.table,
		heard:      func(news LeavingNews) { p.watcher.Heard(news.Instance, news.At) },
		payload: func() Payload {
			return Payload{Manifest: p.follower.Version(), Operators: l.Operators.Addr().String()}
		},
	}
	p.replicator.Sender = p.peers
	p.replicator.Isolated = p.peers.group.Isolated

	return merry.Prepend(p.peers.register(), "prepare peers")
}

// locateEntry returns the peer address of a listed entry instance.
func (p *parts) locateEntry(l provider.Listing) (string, bool) {
	return l.Address, l.Service == p.settings.EntryService
}
