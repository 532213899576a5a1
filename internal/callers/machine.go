package callers

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

const (
	// budgetShare is the part of the machine's memory that requests may take: an eighth. The collector's garbage takes
	// about as much again, and connections, the tables and the program need the rest of half the machine.
	budgetShare = 8
	// descriptorReserve is kept for listeners, other instances, the store and the admin listener.
	descriptorReserve = 200
	// unknownMemory is assumed where the system does not tell its memory, in bytes.
	unknownMemory = 1 << 30
	// unknownDescriptors is assumed where the system does not tell its limit.
	unknownDescriptors = 1024
)

// MemoryBudget returns the memory in bytes of all requests together on a machine with that much memory.
func MemoryBudget(memory int64) int64 { return memory / budgetShare }

// MaxConnections returns the number of callers' connections of a process with that many descriptors. Each may need
// another one to an upstream.
func MaxConnections(descriptors int) int {
	return max((descriptors-min(descriptorReserve, descriptors/4))/2, 1)
}

// SystemMemory returns the memory of the system or of the control group, whichever is less, in bytes.
func SystemMemory() int64 {
	memory := int64(unknownMemory)
	if data, err := os.ReadFile("/proc/meminfo"); err == nil {
		fields := strings.Fields(string(data))
		if len(fields) > 1 && fields[0] == "MemTotal:" {
			if kib, err := strconv.ParseInt(fields[1], 10, 64); err == nil && kib > 0 {
				memory = kib << 10
			}
		}
	}
	for _, path := range []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // the system has another kind of control groups, or none
		}
		if n, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil && n > 0 {
			memory = min(memory, n)
		}
	}
	return memory
}

// SystemDescriptors returns the number of descriptors that the process may open.
func SystemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknownDescriptors
	}
	return int(min(limit.Cur, 1<<30))
}
