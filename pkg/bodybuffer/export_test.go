package bodybuffer

// UsedForTest returns the number of bytes that buffers hold.
func (b *Budget) UsedForTest() int64 { return b.used.Load() }
