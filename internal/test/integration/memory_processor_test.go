package integration

import "time"

// processor limits the rate at which a machine processes received messages: one at a time, messageTime each.
type processor struct {
	busy        chan struct{}
	messageTime time.Duration
}

// setMessageTime makes a machine spend messageTime on each message that it receives, one at a time; zero removes the limit.
func (n *memoryNetwork) setMessageTime(host string, messageTime time.Duration) {
	n.lock.Lock()
	defer n.lock.Unlock()
	delete(n.processors, host)
	if messageTime > 0 {
		n.processors[host] = &processor{busy: make(chan struct{}, 1), messageTime: messageTime}
	}
}

// processMessage waits until the machine has processed one more message.
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
