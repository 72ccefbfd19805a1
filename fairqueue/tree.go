package fairqueue

import (
	"iter"
	"math/rand/v2"
)

// tree holds the requests of a flow in order of arrival. It is a treap whose nodes hold the number
// and the cost of their subtrees. The zero value is empty.
type tree[F Flow, T any] struct {
	root *Entry[F, T]
}

func (t *tree[F, T]) len() int { return sizeOf(t.root) }

func (t *tree[F, T]) insert(e *Entry[F, T]) {
	e.left, e.right, e.heapKey = nil, nil, rand.Uint64()
	e.update()

	before, after := split(t.root, e)
	t.root = merge(merge(before, e), after)
}

func (t *tree[F, T]) remove(e *Entry[F, T]) {
	t.root = without(t.root, e)
	e.left, e.right = nil, nil
}

func (t *tree[F, T]) first() *Entry[F, T] {
	e := t.root
	for e != nil && e.left != nil {
		e = e.left
	}

	return e
}

func (t *tree[F, T]) last() *Entry[F, T] {
	e := t.root
	for e != nil && e.right != nil {
		e = e.right
	}

	return e
}

// before returns the number and the cost of the requests that precede e.
func (t *tree[F, T]) before(e *Entry[F, T]) (int, float64) {
	count, cost := 0, 0.0

	for n := t.root; n != nil; {
		if !n.before(e) {
			n = n.left

			continue
		}

		count += 1 + sizeOf(n.left)
		cost += n.work() + costOf(n.left)
		n = n.right
	}

	return count, cost
}

// after returns the request that follows e, or nil.
func (t *tree[F, T]) after(e *Entry[F, T]) *Entry[F, T] {
	var next *Entry[F, T]

	for n := t.root; n != nil; {
		if !e.before(n) {
			n = n.right

			continue
		}

		next, n = n, n.left
	}

	return next
}

func (t *tree[F, T]) all() iter.Seq[*Entry[F, T]] {
	return func(yield func(*Entry[F, T]) bool) {
		for e := t.first(); e != nil; e = t.after(e) {
			if !yield(e) {
				return
			}
		}
	}
}

// update computes the totals of the subtree at e from those of its children.
func (e *Entry[F, T]) update() {
	e.size = 1 + sizeOf(e.left) + sizeOf(e.right)
	e.costSum = e.work() + costOf(e.left) + costOf(e.right)
}

func sizeOf[F Flow, T any](e *Entry[F, T]) int {
	if e == nil {
		return 0
	}

	return e.size
}

func costOf[F Flow, T any](e *Entry[F, T]) float64 {
	if e == nil {
		return 0
	}

	return e.costSum
}

// split divides a subtree into the requests before e and those after it.
func split[F Flow, T any](n, e *Entry[F, T]) (before, after *Entry[F, T]) {
	if n == nil {
		return nil, nil
	}

	if n.before(e) {
		n.right, after = split(n.right, e)
		n.update()

		return n, after
	}

	before, n.left = split(n.left, e)
	n.update()

	return before, n
}

// merge joins two subtrees, of which all requests of a precede those of b.
func merge[F Flow, T any](a, b *Entry[F, T]) *Entry[F, T] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.heapKey > b.heapKey:
		a.right = merge(a.right, b)
		a.update()

		return a
	default:
		b.left = merge(a, b.left)
		b.update()

		return b
	}
}

// without returns a subtree without e.
func without[F Flow, T any](n, e *Entry[F, T]) *Entry[F, T] {
	switch {
	case n == nil:
		return nil
	case n == e:
		return merge(n.left, n.right)
	case e.before(n):
		n.left = without(n.left, e)
	default:
		n.right = without(n.right, e)
	}

	n.update()

	return n
}
