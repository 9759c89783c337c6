// Package admission decides which request uses a slot next.
//
// A host has one admission controller for each upstream of which it owns endpoints. The
// controller holds one admission queue for each rank and admits requests by the ranks'
// planned shares and floors. A request that cannot be answered in time is refused at once;
// it has not run.
package admission
