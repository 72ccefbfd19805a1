package load

import (
	"fmt"

	"monsoonlever/document"
	"monsoonlever/finding"
)

func (m *Mix) check(d *document.Document, l *finding.List) {
	if len(m.Accounts) == 0 {
		d.Report(l, "accounts", "must name at least one client account")
	}

	for i, a := range m.Accounts {
		if a.Account == "" || a.Share <= 0 {
			d.Report(l, fmt.Sprintf("accounts[%d]", i), "must have an account and a share above zero")
		}
	}

	if len(m.Calls) == 0 {
		d.Report(l, "calls", "must name at least one kind of call")
	}

	for i := range m.Calls {
		m.Calls[i].check(d, l, fmt.Sprintf("calls[%d]", i))
	}

	for i, f := range m.Faults {
		if f.Server == "" || f.Path == "" {
			d.Report(l, fmt.Sprintf("faults[%d]", i), "must have a server and a path")
		}
	}
}

func (c *CallMix) check(d *document.Document, l *finding.List, field string) {
	if c.Service == "" || c.Kind == "" || c.PerSecond <= 0 {
		d.Report(l, field, "must have a service, a kind and a rate above zero")
	}

	if c.isModel() == (c.Plain.Method != "") {
		d.Report(l, field, "must have either a model or a plain method")
	}

	if c.Plain.Keyed && c.Plain.BodyBytes <= 0 {
		d.Report(l, field+".plain.bodyBytes", "must be above zero, since keyed calls are told apart by their bodies")
	}

	if c.Timeout <= 0 {
		d.Report(l, field+".timeout", "must be above zero")
	}

	if c.isModel() {
		c.Model.PromptWords.check(d, l, field+".model.promptWords")
		c.Model.MaxTokens.check(d, l, field+".model.maxTokens")
	}
}

func (r Range) check(d *document.Document, l *finding.List, field string) {
	if r.Min <= 0 || r.Median < r.Min || r.Max < r.Median {
		d.Report(l, field, "must have 0 < min <= median <= max")
	}
}
