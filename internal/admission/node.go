package admission

import "time"

// node is a queue (a leaf of the tree) or a group of queues.
type node struct {
	parent   *node
	key      key
	children map[key]*node
	// active are the children with waiting requests, in the order in which
	// they began to wait.
	active []*node
	// virtualTime is the largest start tag of a child that was served.
	virtualTime time.Duration
	// startTag is the node's virtual start time within its parent.
	startTag time.Duration
	// queued counts waiting requests of each class at and below the node.
	queued  [classCount]int
	waiting int
	running int
	// first and last are the ends of a queue's list of tickets.
	first, last *Ticket
}

// child returns the child with the key and creates it where there is none.
func (n *node) child(k key) *node {
	if found, present := n.children[k]; present {
		return found
	}
	created := &node{parent: n, key: k, startTag: n.virtualTime}
	if n.children == nil {
		n.children = make(map[key]*node)
	}
	n.children[k] = created
	return created
}

// append adds a ticket to the end of the node's list and to the counts of the
// node and its ancestors.
func (n *node) append(t *Ticket) {
	t.queue = n
	t.prevTicket, t.nextTicket = n.last, nil
	if n.last == nil {
		n.first = t
	} else {
		n.last.nextTicket = t
	}
	n.last = t
	for at := n; at != nil; at = at.parent {
		at.queued[t.request.Class]++
		at.waiting++
		if at.waiting == 1 && at.parent != nil {
			at.activate()
		}
	}
}

// remove takes a ticket out of the node's list and out of the counts of the node
// and its ancestors.
func (n *node) remove(t *Ticket) {
	if t.prevTicket == nil {
		n.first = t.nextTicket
	} else {
		t.prevTicket.nextTicket = t.nextTicket
	}
	if t.nextTicket == nil {
		n.last = t.prevTicket
	} else {
		t.nextTicket.prevTicket = t.prevTicket
	}
	t.prevTicket, t.nextTicket = nil, nil
	for at := n; at != nil; at = at.parent {
		at.queued[t.request.Class]--
		at.waiting--
		if at.waiting == 0 && at.parent != nil {
			at.deactivate()
		}
	}
}

// activate adds a node that had nothing waiting to its parent's active children.
// A start tag ahead of the parent's virtual time stays, so that slot time used
// in advance is still paid for; one behind it is raised, so that an idle node
// earns no credit.
func (n *node) activate() {
	n.startTag = max(n.startTag, n.parent.virtualTime)
	n.parent.active = append(n.parent.active, n)
}

// deactivate removes a node from its parent's active children.
func (n *node) deactivate() {
	siblings := n.parent.active
	for i, sibling := range siblings {
		if sibling == n {
			copy(siblings[i:], siblings[i+1:])
			siblings[len(siblings)-1] = nil
			n.parent.active = siblings[:len(siblings)-1]
			return
		}
	}
}

// charge counts a started request and adds its expected slot time to the start
// tags of the node and its ancestors.
func (n *node) charge(cost time.Duration) {
	for at := n; at != nil; at = at.parent {
		at.running++
		if at.parent != nil {
			at.parent.virtualTime = max(at.parent.virtualTime, at.startTag)
			at.startTag += cost
		}
	}
}

// correctCharge counts an ended request and adds the difference between its
// actual and its expected slot time to the start tags.
func (n *node) correctCharge(correction time.Duration) {
	for at := n; at != nil; at = at.parent {
		at.running--
		if at.parent != nil {
			at.startTag += correction
		}
	}
}

// next returns the first ticket of an eligible class in the queue that is reached
// by following the smallest start tags. The scan over active children is bounded
// by the limit on waiting requests.
func (n *node) next(eligible [classCount]bool) *Ticket {
	at := n
	for len(at.active) > 0 {
		var best *node
		for _, child := range at.active {
			if child.hasWaiting(eligible) && (best == nil || child.startTag < best.startTag) {
				best = child
			}
		}
		if best == nil {
			return nil
		}
		at = best
	}
	for t := at.first; t != nil; t = t.nextTicket {
		if eligible[t.request.Class] {
			return t
		}
	}
	return nil
}

// hasWaiting reports whether a request of an eligible class waits at or below the
// node.
func (n *node) hasWaiting(eligible [classCount]bool) bool {
	for class, count := range n.queued {
		if eligible[class] && count > 0 {
			return true
		}
	}
	return false
}

// longest returns the queue that is reached by following the child with the most
// waiting requests.
func (n *node) longest() *node {
	at := n
	for len(at.active) > 0 {
		best := at.active[0]
		for _, child := range at.active[1:] {
			if child.waiting > best.waiting {
				best = child
			}
		}
		at = best
	}
	return at
}

// idle reports whether nothing waits or runs at or below the node.
func (n *node) idle() bool { return n.waiting == 0 && n.running == 0 }

// removeIdle removes idle descendants whose start tag is not ahead of their
// parent's virtual time, or all idle ones.
func (n *node) removeIdle(all bool) {
	for k, child := range n.children {
		if child.idle() && (all || child.startTag <= n.virtualTime) {
			delete(n.children, k)
			continue
		}
		child.removeIdle(all)
	}
}
