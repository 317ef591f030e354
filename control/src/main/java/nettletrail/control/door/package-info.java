/**
 * The door's side of the control plane: its links to the core, its merged views, and its tenants'
 * quota tokens. Pure.
 */
package nettletrail.control.door;
