package memory

const (
	// blockSizes is the number of sizes of blocks that are used again: chunkBytes, and each twice
	// the one before.
	blockSizes = 5
	// MaxBlockBytes is the largest block.
	MaxBlockBytes = chunkBytes << (blockSizes - 1)
	// FreeBlockBytes is the size up to which a block is not reserved: it is part of what each
	// request holds.
	FreeBlockBytes = 4 << 10
)

// Block is contiguous memory that grows with its content, and is reserved as it grows. It is for one
// content after the other, and not safe for concurrent use.
type Block struct {
	hold  *Hold
	bytes []byte
	held  int64
}

// Block returns an empty block of a hold. It must be released before the hold.
func (h *Hold) Block() *Block { return &Block{hold: h} }

// Bytes returns the content. It may be used until the block grows or is released.
func (b *Block) Bytes() []byte { return b.bytes }

// Append appends to the content. It returns false, and appends nothing, if the organisation or its
// service may hold no more, or the content would exceed MaxBlockBytes.
func (b *Block) Append(p []byte) bool {
	n := len(b.bytes) + len(p)
	if n > FreeBlockBytes && n > cap(b.bytes) && !b.grow(n) {
		return false
	}
	b.bytes = append(b.bytes, p...)
	return true
}

// grow moves the content to a block with room for n bytes.
func (b *Block) grow(n int) bool {
	size := 2 * FreeBlockBytes
	for size < n {
		size *= 2
	}
	if size > MaxBlockBytes || !b.hold.Reserve(int64(size)) {
		return false
	}
	larger := append(b.hold.account.block(size), b.bytes...)
	b.drop()
	b.bytes, b.held = larger, int64(size)
	return true
}

// Reset empties the block, and releases what was reserved for it.
func (b *Block) Reset() {
	if b.held > 0 {
		b.drop()
	}
	b.bytes = b.bytes[:0]
}

// drop releases the memory of the content.
func (b *Block) drop() {
	b.hold.account.reuse([][]byte{b.bytes})
	b.hold.Return(b.held)
	b.bytes, b.held = nil, 0
}

// block returns an empty block of a size, an idle one if there is one.
func (a *Account) block(size int) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.idle.take(size); b != nil {
		return b[:0]
	}
	return make([]byte, 0, size)
}

// idleBlocks are blocks to be used again, by size. Released memory thus need not wait for the
// collector.
type idleBlocks [blockSizes][][]byte

// sizeIndex returns the index of a size, false if blocks of that size are left to the collector.
func sizeIndex(size int) (int, bool) {
	for i := range blockSizes {
		if size == chunkBytes<<i {
			return i, true
		}
	}
	return 0, false
}

func (b *idleBlocks) bytes() (n int64) {
	for i, list := range b {
		n += int64(len(list)) * (chunkBytes << i)
	}
	return n
}

// take returns a block of a size, or nil.
func (b *idleBlocks) take(size int) []byte {
	i, ok := sizeIndex(size)
	if !ok || len(b[i]) == 0 {
		return nil
	}
	last := b[i][len(b[i])-1]
	b.keep(i, len(b[i])-1)
	return last
}

func (b *idleBlocks) put(block []byte) {
	if i, ok := sizeIndex(cap(block)); ok {
		b[i] = append(b[i], block[:cap(block)])
	}
}

// keep keeps the first n blocks of a size.
func (b *idleBlocks) keep(i, n int) {
	clear(b[i][n:])
	b[i] = b[i][:n]
}

// halve drops half of the blocks.
func (b *idleBlocks) halve() {
	for i := range b {
		b.keep(i, len(b[i])/2)
	}
}

// trim drops blocks, the largest first, until they have at most a number of bytes.
func (b *idleBlocks) trim(most int64) {
	for i := blockSizes - 1; i >= 0; i-- {
		size := int64(chunkBytes) << i
		if excess := b.bytes() - most; excess > 0 {
			b.keep(i, max(0, len(b[i])-int((excess+size-1)/size)))
		}
	}
}
