/** A billing system that takes exported use, with the faults that such systems have. */
package nettletrail.billing;
