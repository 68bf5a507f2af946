package memory

// headerFieldBytes is what a parsed header field takes beside its text: an entry of a map, a key and a
// list of values.
const headerFieldBytes = 128

// freeHeaderBytes is the cost of a header up to which it is not reserved by itself: it is part of what
// each connection or request holds.
const freeHeaderBytes = 12 << 10

// Header is a header that is being read. What of its cost exceeds freeHeaderBytes is reserved as it
// grows.
type Header struct {
	bytes, fields int
	reserved      int64
}

// HeaderOf returns a header that has been parsed.
func HeaderOf(fields map[string][]string) Header {
	var h Header
	for name, values := range fields {
		h.fields += len(values)
		for _, v := range values {
			h.bytes += len(name) + len(v)
		}
	}
	return h
}

// Cost returns the memory that the header takes while it is read and once it is parsed, in bytes.
func (h *Header) Cost() int64 { return int64(2*h.bytes + headerFieldBytes*h.fields) }

// Read counts bytes that belong to the header.
func (h *Header) Read(p []byte) {
	h.bytes += len(p)
	for _, c := range p {
		if c == '\n' {
			h.fields++
		}
	}
}

// Reserve reserves what was read, and returns false if there is no memory for it.
func (h *Header) Reserve(reserve func(n int64) bool) bool {
	n := h.Cost() - freeHeaderBytes - h.reserved
	if n <= 0 {
		return true
	}
	if !reserve(n) {
		return false
	}
	h.reserved += n
	return true
}

// Fields returns the number of fields.
func (h *Header) Fields() int { return h.fields }

// Parsed reserves what the header takes once it is parsed, beyond what was reserved while it was read.
func (h *Header) Parsed(fields map[string][]string, reserve func(n int64) bool) bool {
	parsed := HeaderOf(fields)
	parsed.reserved = h.reserved
	return parsed.Reserve(reserve)
}
