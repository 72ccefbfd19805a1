package peer

import (
	"crypto/tls"
	"slices"

	"monsoonlever/codec"
	"monsoonlever/fleet"
)

// hello is the body of the first frame that each side of a connection sends.
type hello struct {
	Deployment  string
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
	Domain      fleet.FailureDomain
	Address     string
}

func (n *Node) helloFrame() (frame, error) {
	body, err := encode(&hello{
		Deployment:  n.Deployment,
		ID:          n.ID,
		Incarnation: n.Incarnation,
		Domain:      n.Domain,
		Address:     n.Advertise,
	})

	return frame{form: formMessage, kind: kindHello, body: body}, err
}

// checkHello verifies a connection's first frame against the remote's
// certificate and returns its sender.
func (n *Node) checkHello(f frame, state tls.ConnectionState) (Sender, error) {
	if f.kind != kindHello {
		return Sender{}, &RefusalError{reason: ReasonHello}
	}

	var h hello
	if err := codec.Unmarshal(f.body, &h); err != nil {
		return Sender{}, &RefusalError{reason: ReasonHello, cause: err}
	}

	if h.Deployment != n.Deployment {
		return Sender{}, &RefusalError{reason: ReasonDeployment}
	}

	if h.ID == n.ID {
		return Sender{}, &RefusalError{reason: ReasonIdentity}
	}

	if len(state.PeerCertificates) == 0 || !slices.Contains(state.PeerCertificates[0].DNSNames, string(h.ID)) {
		return Sender{}, &RefusalError{reason: ReasonIdentity}
	}

	return Sender{id: h.ID, incarnation: h.Incarnation, domain: h.Domain, address: h.Address}, nil
}
