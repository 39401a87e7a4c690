package sidecar

import (
	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/status"
)

// heldMemory holds the budgets of what the node holds for others. all includes the others.
type heldMemory struct{ all, requests, responses, links *boundedio.Budget }

func newHeldMemory(s Settings) heldMemory {
	all := s.memoryBudget()
	return heldMemory{
		all: all, requests: all.Part(s.memory(bodyMemoryShare)), responses: all.Part(s.memory(bodyMemoryShare)),
		links: all.Part(s.memory(transferMemoryShare)),
	}
}

// status returns what is held, by purpose, and the largest holders.
func (m heldMemory) status() status.Memory {
	out := status.Memory{Holders: []status.MemoryHolder{}}
	for _, p := range []struct {
		purpose string
		budget  *boundedio.Budget
	}{
		{status.PurposeAll, m.all}, {status.PurposeRequests, m.requests}, {status.PurposeResponses, m.responses}, {status.PurposeLinks, m.links},
	} {
		out.Purposes = append(out.Purposes, status.MemoryPurpose{Purpose: p.purpose, Held: p.budget.Used(), Limit: p.budget.Limit()})
	}
	for _, h := range m.all.Largest(status.MaxHolders) {
		out.Holders = append(out.Holders, status.MemoryHolder{
			Kind: h.Kind, Address: h.Address, Account: h.Account, Bytes: h.Bytes, StalledSeconds: h.Stalled.Seconds(),
		})
	}
	return out
}
