package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/scheduling"
)

// promptNews is what an instance sent to model engines, for all others.
type promptNews struct {
	Instance fleet.InstanceID `msgpack:"i"`
	News     scheduling.News  `msgpack:"n"`
}

// backlogsPerDatagram and holdingsPerDatagram keep a datagram below gossip.MaxWord: a
// backlog takes up to 11 bytes, and a holding up to 30 with five parts.
const (
	backlogsPerDatagram = 40
	holdingsPerDatagram = 25
)

// tellPrompts tells all others, soon after each change, what this instance has waiting
// at model engines and what those have read.
func (p *parts) tellPrompts(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-p.scheduler.Ready():
		case <-ctx.Done():
			return
		}

		news := p.scheduler.News()
		if news.Empty() {
			continue
		}

		peers := p.members.Addresses(p.self())

		for _, part := range splitNews(news) {
			p.sendAll(peers, datagram{Prompts: &promptNews{Instance: p.self(), News: part}})
		}

		// As words do, news slows down with the number of those it is told to.
		clock.Sleep(ctx, p.clock, time.Duration(len(peers))*gossip.PerPeer)
	}
}

// splitNews divides news into what one datagram holds.
func splitNews(news scheduling.News) []scheduling.News {
	var parts []scheduling.News

	for !news.Empty() {
		backlogs := min(len(news.Backlogs), backlogsPerDatagram)
		holdings := min(len(news.Holdings), holdingsPerDatagram)
		parts = append(parts, scheduling.News{Backlogs: news.Backlogs[:backlogs], Holdings: news.Holdings[:holdings]})
		news.Backlogs, news.Holdings = news.Backlogs[backlogs:], news.Holdings[holdings:]
	}

	return parts
}
