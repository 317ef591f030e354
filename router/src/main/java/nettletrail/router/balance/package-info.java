/** Choice among a service's backends. Pure deciders; {@code now} is in ns. */
package nettletrail.router.balance;
