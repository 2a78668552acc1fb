package fleetview

// hash is FNV-1a of 64 bits (the parameters are those of RFC 9923), which all
// processes compute alike.
type hash uint64

const (
	hashOffset hash = 14695981039346656037
	hashPrime  hash = 1099511628211
)

func newHash() hash { return hashOffset }

// text adds a text and its end.
func (h *hash) text(text string) {
	for i := range len(text) {
		*h = (*h ^ hash(text[i])) * hashPrime
	}
	*h *= hashPrime
}

// number adds eight bytes.
func (h *hash) number(number uint64) {
	for range 8 {
		*h = (*h ^ hash(number&0xff)) * hashPrime
		number >>= 8
	}
}
