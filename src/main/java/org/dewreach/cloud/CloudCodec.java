package org.dewreach.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.dewreach.wire.Codec;
import org.dewreach.wire.Fields;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.ListedMachine;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.MalformedException;

/** Encodes and decodes the paths and bodies of the cloud's HTTP API. */
final class CloudCodec {
  /** Path of the machine type catalog. */
  static final String CATALOG_PATH = "/catalog";

  /** Path of rental requests and of the machine list. */
  static final String RENTALS_PATH = "/rentals";

  /** Path of releases. */
  static final String RELEASE_PATH = "/rentals/return";

  private static final String REQUEST_NAME = "hire";
  private static final String TYPE = "build";
  private static final String ZONE = "site";
  private static final String SPOT = "loaners";
  private static final String COUNT = "count";
  private static final String MACHINES = "hosts";
  private static final String MORE = "more";
  private static final String ERROR = "error";

  /** The error text for an outage of the cloud; other texts mean a lack of capacity. */
  private static final String OUTAGE = "trouble";

  private CloudCodec() {}

  static String listPath(String afterMachine, int pageSize) {
    String after = afterMachine == null ? "" : "after=" + afterMachine + "&";
    return RENTALS_PATH + "?" + after + "most=" + pageSize;
  }

  static ObjectNode encodeRental(RentalRequest request) {
    ObjectNode body = Codec.map().put(REQUEST_NAME, request.name());
    body.put(TYPE, request.type()).put(ZONE, request.zone());
    return body.put(SPOT, request.spot()).put(COUNT, request.count());
  }

  static ObjectNode encodeRelease(List<String> machines) {
    ObjectNode body = Codec.map();
    ArrayNode names = body.putArray(MACHINES);
    machines.forEach(names::add);
    return body;
  }

  static CatalogResult decodeCatalog(int status, JsonNode body) {
    if (status != HttpStatus.OK) {
      return CloudFailure.ofStatus(status);
    }
    try {
      return new CatalogResult.Catalog(MachineType.parseCatalog(body));
    } catch (MalformedException e) {
      return new CloudFailure(status, e.getMessage());
    }
  }

  static MachineListResult decodeList(int status, JsonNode body) {
    if (status != HttpStatus.OK) {
      return CloudFailure.ofStatus(status);
    }
    try {
      return decodePage(body);
    } catch (MalformedException e) {
      return new CloudFailure(status, e.getMessage());
    }
  }

  private static MachineListResult.Page decodePage(JsonNode body) throws MalformedException {
    ObjectNode page = Fields.map(body);
    if (!(page.get(MACHINES) instanceof ArrayNode entries)) {
      throw new MalformedException(MACHINES, "list expected");
    }
    List<ListedMachine> machines = new ArrayList<>(entries.size());
    for (JsonNode entry : entries) {
      machines.add(ListedMachine.parse(entry));
    }
    return new MachineListResult.Page(machines, page.path(MORE).asBoolean(false));
  }

  static RentalResult decodeRental(int status, JsonNode body) {
    if (status == HttpStatus.OK) {
      return new RentalResult.Rented(machineNames(body));
    }
    boolean outage =
        status == HttpStatus.UNAVAILABLE
            && body != null
            && OUTAGE.equals(body.path(ERROR).asText());
    boolean noResponse = status == 0;
    return outage || noResponse || status == HttpStatus.TOO_MANY_REQUESTS
        ? new RentalResult.Inconclusive(status)
        : new RentalResult.Refused(status);
  }

  private static List<String> machineNames(JsonNode body) {
    if (body == null) {
      throw new IllegalStateException("rental response with status 200 has no valid body");
    }
    List<String> names = new ArrayList<>();
    for (JsonNode name : body.path(MACHINES)) {
      names.add(name.asText());
    }
    return names;
  }

  static ReleaseResult decodeRelease(int status) {
    return status == HttpStatus.OK ? new ReleaseResult.Released() : CloudFailure.ofStatus(status);
  }
}
