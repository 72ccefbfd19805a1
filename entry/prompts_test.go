package entry

import (
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/gossip"
	"monsoonlever/scheduling"
)

// A round of news that is larger than a datagram is told in several, and nothing of it
// is left out.
func TestNewsOfPromptsFitsIntoDatagrams(t *testing.T) {
	var news scheduling.News

	for i := range uint32(300) {
		key := scheduling.Key(math.MaxUint32 - i)
		news.Backlogs = append(news.Backlogs, scheduling.Backlog{Server: key, Tokens: math.MaxUint32 - i})
		news.Loads = append(news.Loads, scheduling.ServerLoad{Server: key, Requests: math.MaxUint16, AgeMs: math.MaxUint16})
		news.Holdings = append(news.Holdings, scheduling.Holding{Server: key, Parts: []scheduling.Key{key, key, key, key, key}})
	}

	backlogs, holdings, loads := 0, 0, 0

	for _, part := range splitNews(news) {
		data, err := msgpack.Marshal(&datagram{Prompts: &promptNews{Instance: "edge-ballerup-a-12", Subscribes: true, News: part}})
		if err != nil || len(data) > gossip.MaxWord {
			t.Fatalf("datagram: got %d bytes and %v, want at most %d", len(data), err, gossip.MaxWord)
		}

		var d datagram
		if err := msgpack.Unmarshal(data, &d); err != nil || d.Prompts == nil {
			t.Fatalf("decode: got %v, want news of prompts", err)
		}

		backlogs += len(d.Prompts.News.Backlogs)
		holdings += len(d.Prompts.News.Holdings)
		loads += len(d.Prompts.News.Loads)
	}

	if backlogs != 300 || holdings != 300 || loads != 300 {
		t.Errorf("told: got %d backlogs, %d holdings and %d loads, want 300 of each", backlogs, holdings, loads)
	}
}
