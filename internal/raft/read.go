package raft

import (
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// pendingRead is a read that a majority must confirm.
type pendingRead struct {
	id    uint64
	from  string // empty for a read of the leader itself
	index uint64
	round uint64
}

// ReadIndex starts a read. Its confirmation arrives in Ready.Reads, or never,
// when messages or the leader are lost. It reports false when no leader is known
// or too many reads wait. IDs must not repeat.
func (n *Node) ReadIndex(id uint64) bool {
	if n.role == Leader {
		return n.askRound(pendingRead{id: id})
	}
	if n.leader == "" {
		return false
	}
	n.send(wire.RaftMessage{Type: wire.RaftReadIndex, To: n.leader, Read: id})
	return true
}

func (n *Node) handleReadIndex(m wire.RaftMessage) {
	if n.role == Leader {
		n.askRound(pendingRead{id: m.Read, from: m.From})
	}
}

func (n *Node) askRound(r pendingRead) bool {
	if len(n.waiting)+len(n.reads) >= maxReads {
		return false
	}
	n.waiting = append(n.waiting, r)
	return true
}

// startRound puts the waiting reads into a new round. The commit index counts
// only once an entry of the leader's term is committed: before that, the leader
// may not know the newest commit of its predecessor.
func (n *Node) startRound() bool {
	if len(n.waiting) == 0 || !n.committedInTerm() {
		return false
	}
	n.round++
	for _, r := range n.waiting {
		r.index, r.round = n.commit, n.round
		n.reads = append(n.reads, r)
	}
	n.waiting = nil
	return true
}

// confirmReads answers the reads whose round a majority answered.
func (n *Node) confirmReads() {
	if len(n.reads) == 0 {
		return
	}
	done := quorumValue(n, n.round, func(p *progress) uint64 { return p.round })
	k := 0
	for ; k < len(n.reads) && n.reads[k].round <= done; k++ {
		r := n.reads[k]
		if r.from == "" {
			n.confirmed = append(n.confirmed, ConfirmedRead{ID: r.id, Index: r.index})
			continue
		}
		n.send(wire.RaftMessage{Type: wire.RaftReadIndexResponse, To: r.from, Read: r.id, Index: r.index})
	}
	n.reads = n.reads[k:]
}
