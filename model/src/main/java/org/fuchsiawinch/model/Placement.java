package org.fuchsiawinch.model;

/**
 * Assignment of one part of a gang to a worker.
 *
 * @param part index of the part, from 0
 * @param worker the worker
 */
public record Placement(int part, WorkerId worker) {}
