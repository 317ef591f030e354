/** Data plane of the fleet: routes, keys, admission, choice of backends, streams. */
package nettletrail.router;
