package raft

import (
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// pendingRead is a read that waits for the confirmation by a majority.
type pendingRead struct {
	id    uint64
	from  string // empty for a read of the leader itself
	index uint64
	round uint64
}

// ReadIndex starts a linearizable read. Its confirmation appears in Ready.Reads, or
// never if messages or the leader are lost. ReadIndex returns false if no leader is
// known or too many reads are pending. IDs must be unique.
func (n *Node) ReadIndex(id uint64) bool {
	if n.role == Leader {
		return n.queueRead(pendingRead{id: id})
	}
	if n.leader == "" {
		return false
	}
	n.send(wire.RaftMessage{Type: wire.RaftReadIndex, To: n.leader, Read: id})
	return true
}

func (n *Node) handleReadIndex(m wire.RaftMessage) {
	if n.role == Leader {
		n.queueRead(pendingRead{id: m.Read, from: m.From})
	}
}

func (n *Node) queueRead(r pendingRead) bool {
	if len(n.queuedReads)+len(n.pendingReads) >= maxPendingReads {
		return false
	}
	n.queuedReads = append(n.queuedReads, r)
	return true
}

// startReadRound assigns the queued reads to a new round, which a majority confirms
// by answering the next messages. The commit index is valid for reads only once an
// entry of the leader's term is committed. Before that, the leader may not know the
// newest commit index of its predecessor.
func (n *Node) startReadRound() bool {
	if len(n.queuedReads) == 0 || !n.committedInTerm() {
		return false
	}
	n.readRound++
	for _, r := range n.queuedReads {
		r.index, r.round = n.commit, n.readRound
		n.pendingReads = append(n.pendingReads, r)
	}
	n.queuedReads = nil
	return true
}

// confirmReads completes the reads of all rounds that a majority answered.
func (n *Node) confirmReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	done := quorumValue(n, n.readRound, func(p *progress) uint64 { return p.ackedRound })
	k := 0
	for ; k < len(n.pendingReads) && n.pendingReads[k].round <= done; k++ {
		r := n.pendingReads[k]
		if r.from == "" {
			n.confirmedReads = append(n.confirmedReads, ConfirmedRead{ID: r.id, Index: r.index})
			continue
		}
		n.send(wire.RaftMessage{Type: wire.RaftReadIndexResponse, To: r.from, Read: r.id, Index: r.index})
	}
	n.pendingReads = n.pendingReads[k:]
}
