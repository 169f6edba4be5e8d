package org.fuchsiawinch.model;

/**
 * Prices in millionths of the currency unit.
 *
 * @param acceleratorHourMicros price of an accelerator for an hour
 * @param lentAcceleratorHourMicros price of an accelerator for an hour on lent capacity
 * @param migrationMicros price of moving one checkpointed attempt; negative if no attempt is moved
 */
public record PricePolicy(long acceleratorHourMicros, long lentAcceleratorHourMicros, long migrationMicros) {}
