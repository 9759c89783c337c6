// Package admission decides which request may use a slot of an endpoint next.
package admission
