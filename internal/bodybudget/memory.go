package bodybudget

// The shares of a process's memory limit that the request bodies of one server may take. A control plane has two servers.
const (
	DataPlaneShare    = 1.0 / 4
	ControlPlaneShare = 1.0 / 8
)

const (
	// defaultMemoryMb takes the place of a memory limit where the settings have none.
	defaultMemoryMb = 256.0
	bytesPerMb      = 1 << 20
)

// ShareOf returns the bytes of a share of a memory limit in MB; 0 stands for no limit.
func ShareOf(memoryMb, share float64) int64 {
	if memoryMb <= 0 {
		memoryMb = defaultMemoryMb
	}
	return int64(share * memoryMb * bytesPerMb)
}
