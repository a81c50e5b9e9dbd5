package integration

import "time"

// processor is the processor of a machine as far as it bounds the messages that the machine takes in: one at a time.
type processor struct {
	busy        chan struct{}
	messageTime time.Duration
}

// setMessageTime has a machine take so long for each message that reaches it, one after the other; zero ends that.
func (n *memoryNetwork) setMessageTime(host string, messageTime time.Duration) {
	n.lock.Lock()
	defer n.lock.Unlock()
	delete(n.processors, host)
	if messageTime > 0 {
		n.processors[host] = &processor{busy: make(chan struct{}, 1), messageTime: messageTime}
	}
}

// processMessage waits until the machine has taken in one more message.
func (n *memoryNetwork) processMessage(host string) {
	n.lock.Lock()
	machine := n.processors[host]
	n.lock.Unlock()
	if machine == nil {
		return
	}
	machine.busy <- struct{}{}
	time.Sleep(machine.messageTime)
	<-machine.busy
}
