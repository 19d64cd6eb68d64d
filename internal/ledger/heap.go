package ledger

import "container/heap"

// deadlineHeap orders reserved entries by deadline. Items of entries that have
// finished, or whose deadline has changed, are skipped when they are popped.
type deadlineHeap struct{ items deadlineItems }

type deadlineItem struct {
	key      entryKey
	deadline int64
}

type deadlineItems []deadlineItem

func (d deadlineItems) Len() int           { return len(d) }
func (d deadlineItems) Less(i, j int) bool { return d[i].deadline < d[j].deadline }
func (d deadlineItems) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deadlineItems) Push(x any)        { *d = append(*d, x.(deadlineItem)) }

func (d *deadlineItems) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

func (h *deadlineHeap) add(k entryKey, deadline int64) {
	heap.Push(&h.items, deadlineItem{k, deadline})
}

// peek returns the item with the earliest deadline.
func (h *deadlineHeap) peek() (k entryKey, deadline int64, ok bool) {
	if len(h.items) == 0 {
		return entryKey{}, 0, false
	}
	return h.items[0].key, h.items[0].deadline, true
}

func (h *deadlineHeap) pop() { heap.Pop(&h.items) }
