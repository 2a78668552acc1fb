package admission

import "time"

// node is a queue (without children) or a group of queues.
type node struct {
	parent   *node
	key      key
	children map[key]*node
	// active are the children with waiting requests, in the order in which
	// they began to wait.
	active []*node
	// virtual is the virtual start time of the child served last.
	virtual time.Duration
	// start is this node's own virtual start time within its parent.
	start time.Duration
	// queued counts waiting requests of each class at and below the node.
	queued  [classCount]int
	waiting int
	running int
	// first and last are the ends of a queue's list of tickets.
	first, last *Ticket
}

// child finds or makes a child.
func (n *node) child(k key) *node {
	if found, present := n.children[k]; present {
		return found
	}
	made := &node{parent: n, key: k, start: n.virtual}
	if n.children == nil {
		n.children = make(map[key]*node)
	}
	n.children[k] = made
	return made
}

// append puts a ticket at the end of the node's list and counts it up to the
// root.
func (n *node) append(t *Ticket) {
	t.queue = n
	t.before, t.after = n.last, nil
	if n.last == nil {
		n.first = t
	} else {
		n.last.after = t
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

// remove takes a ticket out of the node's list.
func (n *node) remove(t *Ticket) {
	if t.before == nil {
		n.first = t.after
	} else {
		t.before.after = t.after
	}
	if t.after == nil {
		n.last = t.before
	} else {
		t.after.before = t.before
	}
	t.before, t.after = nil, nil
	for at := n; at != nil; at = at.parent {
		at.queued[t.request.Class]--
		at.waiting--
		if at.waiting == 0 && at.parent != nil {
			at.deactivate()
		}
	}
}

// activate lets a node that had nothing waiting compete again. It keeps the
// debt of a start time ahead of the others and gets no credit for idleness.
func (n *node) activate() {
	n.start = max(n.start, n.parent.virtual)
	n.parent.active = append(n.parent.active, n)
}

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

// charge counts a started request and the slot time it is expected to use.
func (n *node) charge(cost time.Duration) {
	for at := n; at != nil; at = at.parent {
		at.running++
		if at.parent != nil {
			at.parent.virtual = max(at.parent.virtual, at.start)
			at.start += cost
		}
	}
}

// settle counts an ended request and corrects what it was charged.
func (n *node) settle(correction time.Duration) {
	for at := n; at != nil; at = at.parent {
		at.running--
		if at.parent != nil {
			at.start += correction
		}
	}
}

// next returns the first ticket of the queue whose turn it is, of an eligible
// class. The scan over active children is bounded by the limit on waiting
// requests.
func (n *node) next(eligible [classCount]bool) *Ticket {
	at := n
	for len(at.active) > 0 {
		var best *node
		for _, child := range at.active {
			if child.holds(eligible) && (best == nil || child.start < best.start) {
				best = child
			}
		}
		if best == nil {
			return nil
		}
		at = best
	}
	for t := at.first; t != nil; t = t.after {
		if eligible[t.request.Class] {
			return t
		}
	}
	return nil
}

// holds says whether a request of an eligible class waits at or below the node.
func (n *node) holds(eligible [classCount]bool) bool {
	for class, count := range n.queued {
		if eligible[class] && count > 0 {
			return true
		}
	}
	return false
}

// longest returns the queue reached by following the most waiting requests.
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

// idle says whether nothing waits or runs at or below the node.
func (n *node) idle() bool { return n.waiting == 0 && n.running == 0 }

// forgetIdle drops idle children that owe nothing, or all idle ones.
func (n *node) forgetIdle(all bool) {
	for k, child := range n.children {
		if child.idle() && (all || child.start <= n.virtual) {
			delete(n.children, k)
			continue
		}
		child.forgetIdle(all)
	}
}
