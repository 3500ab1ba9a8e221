// Package link decides in which order and when the bodies of a node are sent over the
// VM's network link, so that small messages do not wait behind large bodies.
//
// It is meant for a node whose link is narrow for what it carries: downloads of 90 KB on
// average and up to 540 KB that demand 70% to 130% of a link of 18 Mbit/s, or uploads of
// 60 KB on 8.1 Mbit/s, beside small calls with targets of 120 to 600 ms.
//
// # Usage
//
// One Link serves all bodies that a node sends. A nil *Link does nothing, for a node
// that does not know the rate of its link:
//
//	l := link.New(18)
//	l.Small(len(message))                  // sent at once, but counted
//	f, err := l.Admit(class, expectedBytes)
//	if err != nil {
//		return err // a *link.BusyError: it cannot arrive before its deadline
//	}
//	defer f.Close()
//	f.SetLeft(bytes)                       // once the size is known
//	for each piece of at most l.PieceBytes() {
//		if err := f.Acquire(ctx, len(piece)); err != nil {
//			return err // ErrTooLate: it can no longer arrive before its deadline
//		}
//		send(piece)
//	}
//
// # Decisions
//
// Scheduler is the decision itself. It starts no goroutine and reads no clock. It models
// the queue of the link: what was sent adds to the queue, and the rate of the link drains
// it. Small messages add to the queue without asking. The next piece of a large body is
// granted while no more than one piece is queued, so that a small message finds at most
// two pieces ahead of it, or three where the process usually runs late.
//
// A piece is granted to the most urgent rank first. Within a rank, bodies that can still
// meet their target come first, by their target, and then the others, by their deadline.
// A part of a body is worth nothing. A body that has begun therefore keeps its place among
// the former and is passed only by one whose target is headStart earlier, and a body that
// can no longer be sent by its deadline is ended. One byte in behindShare goes to less urgent ranks, so that none starves.
//
// A grant is accounted by bytes and time, not held until the bytes are sent. A peer that
// does not read therefore holds nothing that others need: it delays only its own body.
//
// # Wrong settings
//
// A rate above that of the link leaves the queue to the kernel, as without pacing. A rate
// below it slows large bodies down to the rate. Large bodies always get 1/reservedShare
// of the rate, and one piece every maxPieceWait, however many small messages are counted.
// An idle link refuses nothing, whatever the estimate says.
package link
