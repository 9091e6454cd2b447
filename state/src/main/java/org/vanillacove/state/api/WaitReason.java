package org.vanillacove.state.api;

/**
 * Why a task of a job waits.
 *
 * @param constraint constraint that prevents the start
 * @param remedy what would let the task start
 */
public record WaitReason(String constraint, String remedy) {}
