/** The fleet's binary: roles door and core, settings, wiring, the operators' client. */
package nettletrail.fleet;
