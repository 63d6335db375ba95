package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * One entry of the cloud's machine type catalog ({@code GET /catalog}). Prices are per hour.
 *
 * @param name the type's name
 * @param cpus CPUs of a machine
 * @param gpus GPUs of a machine
 * @param memoryGb memory of a machine
 * @param cacheGb size of its image cache
 * @param fetchGbPerS the rate at which a machine fetches images
 * @param price price of an on-demand machine
 * @param spotPrice price of a spot machine
 * @param bootMicros time from the rental to the first heartbeat
 * @param zones the zones in which the type is offered
 */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    long bootMicros,
    List<String> zones) {

  /** Parses the catalog; the cloud's response and the stored record have the same form. */
  public static List<MachineType> parseCatalog(JsonNode body) throws MalformedException {
    if (!(Fields.map(body).get("builds") instanceof ArrayNode list)) {
      throw new MalformedException("builds", "list expected");
    }
    List<MachineType> types = new ArrayList<>(list.size());
    for (JsonNode item : list) {
      ObjectNode map = Fields.map(item);
      List<String> zones = new ArrayList<>();
      if (map.get("sites") instanceof ArrayNode sites) {
        sites.forEach(site -> zones.add(site.asText()));
      }
      types.add(
          new MachineType(
              Fields.text(map, "name"),
              Fields.amount(map, "cpus"),
              Fields.absent(map, "cards") ? 0 : Fields.amount(map, "cards"),
              Fields.amount(map, "memory_gb"),
              Fields.amount(map, "cache_gb"),
              Fields.amount(map, "fetch_gb_per_s"),
              Fields.amount(map, "price"),
              Fields.amount(map, "spot_price"),
              Fields.micros(map, "ready_s"),
              List.copyOf(zones)));
    }
    return List.copyOf(types);
  }

  /** Returns the catalog in the form that {@link #parseCatalog} reads. */
  public static ObjectNode catalogNode(List<MachineType> types) {
    ObjectNode map = Codec.map();
    ArrayNode list = map.putArray("builds");
    for (MachineType type : types) {
      ObjectNode item = list.addObject();
      item.put("name", type.name).put("cpus", type.cpus).put("cards", type.gpus);
      item.put("memory_gb", type.memoryGb).put("cache_gb", type.cacheGb);
      item.put("fetch_gb_per_s", type.fetchGbPerS).put("price", type.price);
      item.put("spot_price", type.spotPrice)
          .put("ready_s", type.bootMicros / Fields.MICROS_PER_SECOND);
      ArrayNode sites = item.putArray("sites");
      type.zones.forEach(sites::add);
    }
    return map;
  }
}
