package platformsimulator

import (
	"context"
	"maps"
	"strings"
)

// evacuationPrefix and the name of a data centre are the store key of the order to evacuate
// it.
const evacuationPrefix = "op/evacuate/"

// Evacuate writes the order that nothing more is sent to the targets of a data centre.
func (p *Platform) Evacuate(dataCentre string) error {
	p.mu.Lock()
	if p.evacuated == nil {
		p.evacuated = make(map[string]bool)
	}
	p.evacuated[dataCentre] = true
	p.mu.Unlock()
	return p.store.Put(evacuationPrefix+dataCentre, []byte("{}"))
}

// TakeBack removes the order to evacuate a data centre.
func (p *Platform) TakeBack(dataCentre string) error {
	p.mu.Lock()
	delete(p.evacuated, dataCentre)
	p.mu.Unlock()
	return p.store.Delete(evacuationPrefix + dataCentre)
}

// writeOrders writes the orders in force again, and removes those that were taken back.
func (p *Platform) writeOrders() error {
	p.mu.Lock()
	orders := maps.Clone(p.evacuated)
	p.mu.Unlock()
	for dataCentre := range orders {
		if err := p.Evacuate(dataCentre); err != nil {
			return err
		}
	}
	page, err := p.store.Memory().Read(context.Background(), evacuationPrefix)
	if err != nil {
		return err
	}
	for _, item := range page.Items {
		if dataCentre := strings.TrimPrefix(item.Key, evacuationPrefix); !orders[dataCentre] {
			if err := p.TakeBack(dataCentre); err != nil {
				return err
			}
		}
	}
	return nil
}
